package org.radishpass.routing.control;

import reactor.core.publisher.Mono;

/** Reads the record of software versions and, if there is none, whether that means that no stream has begun yet. */
final class StreamVersionReader {
    private final ControlSource source;

    StreamVersionReader(ControlSource source) {
        this.source = source;
    }

    Mono<Read> read() {
        return source.streamVersions()
                .flatMap(result -> result instanceof StreamVersionReadResult.Absent
                        ? source.registered().map(registry -> withoutRecord(result, registry))
                        : Mono.just(new Read(result, false)));
    }

    private static Read withoutRecord(StreamVersionReadResult absent, RegistryReadResult registry) {
        if (registry instanceof RegistryReadResult.Registered registered) {
            boolean earlierRelease = registered.routers().stream().anyMatch(router -> !router.recordsStreamVersions());
            return new Read(absent, earlierRelease);
        }
        return new Read(
                new StreamVersionReadResult.Unavailable(
                        ReadFailure.STORE_UNAVAILABLE, "the registered routers cannot be read"),
                false);
    }

    /**
     * A read of the record.
     *
     * @param result the result
     * @param unrecordedStreams whether routers of earlier releases may have begun streams without recording their versions
     */
    record Read(StreamVersionReadResult result, boolean unrecordedStreams) {}
}
