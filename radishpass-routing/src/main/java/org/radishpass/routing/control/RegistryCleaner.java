package org.radishpass.routing.control;

import static net.logstash.logback.argument.StructuredArguments.kv;

import java.util.Collection;
import java.util.Set;
import java.util.stream.Collectors;
import org.radishpass.routing.event.LogEvent;
import org.radishpass.routing.fleet.FleetRouter;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Removes the registrations of routers that are gone for good. A VM that is lost cannot remove its own registration,
 * and its replacement has another address. If a router turns out to be alive, its peers know it from its messages.
 */
final class RegistryCleaner {
    private static final Logger LOG = LoggerFactory.getLogger(RegistryCleaner.class);

    private final ControlSource source;

    RegistryCleaner(ControlSource source) {
        this.source = source;
    }

    /**
     * Removes the registrations of routers. A registration that has been rewritten since it was read is kept.
     *
     * @param gone the routers that have not been seen for a long time
     */
    Mono<Void> clean(Collection<FleetRouter> gone) {
        Set<String> ids = gone.stream().map(FleetRouter::id).collect(Collectors.toSet());
        return source.registered().flatMap(result -> {
            if (result instanceof RegistryReadResult.Registered registered) {
                return Flux.fromIterable(registered.registrations())
                        .filter(registration ->
                                ids.contains(registration.router().id()))
                        .concatMap(this::remove)
                        .then();
            }
            LOG.info("the registrations of lost routers could not be read; they stay until the next router expires");
            return Mono.empty();
        });
    }

    private Mono<Boolean> remove(RegistryReadResult.Registration registration) {
        return source.deregister(registration.router().address(), registration.position())
                .doOnNext(removed -> LOG.info(
                        "the registration of lost router {} was {}",
                        registration.router().id(),
                        removed ? "removed" : "kept",
                        LogEvent.PEER_REMOVED.field(),
                        kv("position", registration.position().toString())));
    }
}
