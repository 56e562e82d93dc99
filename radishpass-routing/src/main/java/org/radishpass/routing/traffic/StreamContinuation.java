package org.radishpass.routing.traffic;

import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import org.radishpass.routing.config.Workspace;
import org.radishpass.routing.stream.KnownOrigin;
import org.radishpass.routing.stream.OriginSource;
import org.radishpass.routing.stream.StreamOrigin;
import org.radishpass.routing.stream.StreamOriginRegistry;

/** Binds the stream of one request to what began it, be it this request or the one that it takes up. */
final class StreamContinuation {
    /** Names no stream, so that only a sole version tells what began it. */
    private static final String NO_REQUEST_ID = "";

    private final TrafficContext context;
    private final ExchangeRecord record;

    StreamContinuation(TrafficContext context, ExchangeRecord record) {
        this.context = context;
        this.record = record;
    }

    /**
     * Records what has sent the first event of a stream.
     *
     * @param terms the terms of the request
     * @param origin what has sent it
     * @return the terms of the rest of the stream
     */
    RequestTerms began(RequestTerms terms, StreamOrigin origin) {
        if (!terms.kind().resumes() || record.origin().isPresent()) {
            return terms;
        }
        boolean named = !terms.requestId().equals(NO_REQUEST_ID);
        if (named && origin.version().known()) {
            KnownOrigin begun = KnownOrigin.begun(hash(terms, terms.requestId()), origin, terms.deadlineMillis());
            registry().began(begun, lifetimeMillis(terms));
        }
        return bound(terms, origin);
    }

    /**
     * Finds out what began the stream that a request takes up.
     *
     * @param terms the terms of the request
     * @param answer receives the terms of the rest of the stream; empty if nobody knows what began the stream, or the route
     *     does not lead there any more
     */
    void resolve(RequestTerms terms, Consumer<Optional<RequestTerms>> answer) {
        String resumed = Objects.requireNonNullElse(terms.resumedRequestId(), NO_REQUEST_ID);
        registry()
                .resolve(
                        hash(terms, resumed),
                        terms.service(),
                        lifetimeMillis(terms),
                        (origin, source) -> resolved(terms, origin, source, answer));
    }

    private StreamOriginRegistry registry() {
        return context.streamOrigins();
    }

    private void resolved(
            RequestTerms terms,
            Optional<StreamOrigin> origin,
            OriginSource source,
            Consumer<Optional<RequestTerms>> answer) {
        context.requestLog().continuedStreams().takenUp(source);
        record.originSource(source);
        answer.accept(origin.flatMap(found -> context.view()
                .configuration()
                .flatMap(configuration -> terms.forService(found.service(), configuration))
                .map(ofService -> bound(ofService, found))));
    }

    private RequestTerms bound(RequestTerms terms, StreamOrigin origin) {
        RequestTerms bound = terms.withRequiredOrigin(origin);
        record.origin(origin);
        record.terms(bound, record.features());
        return bound;
    }

    private static long hash(RequestTerms terms, String requestId) {
        return KnownOrigin.hash(terms.workspace().map(Workspace::name).orElse(""), requestId);
    }

    private static long lifetimeMillis(RequestTerms terms) {
        return KnownOrigin.lifetimeMillis(terms.route().timeoutMillis());
    }
}
