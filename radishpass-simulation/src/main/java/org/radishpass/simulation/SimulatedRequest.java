package org.radishpass.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.radishpass.core.placement.Rendezvous;
import org.radishpass.routing.dialect.PromptDescription;
import org.radishpass.routing.dialect.PromptPart;

/**
 * A request as its caller sends it.
 *
 * @param requestClass its class
 * @param number numbers all requests
 * @param subject what it is about
 * @param outputTokens the tokens that its answer has
 * @param workMillis the work that it is to a plain service, in milliseconds
 */
record SimulatedRequest(RequestClass requestClass, long number, int subject, int outputTokens, double workMillis) {
    private static final String MODEL = "m";

    /** Returns what it says of its prompt; empty for a request to a plain service. */
    Optional<PromptDescription> prompt() {
        if (requestClass.outputTokens() == 0) {
            return Optional.empty();
        }
        List<PromptPart> parts = List.of(
                new PromptPart(requestClass.name(), requestClass.commonTokens()),
                new PromptPart(requestClass.name() + "/" + subject, requestClass.subjectTokens()),
                new PromptPart("own " + number, requestClass.ownTokens()));
        int promptTokens = parts.stream().mapToInt(PromptPart::tokens).sum();
        return Optional.of(new PromptDescription(MODEL, promptTokens, outputTokens, parts));
    }

    /** Returns a well mixed hash of it. */
    long hash() {
        return Rendezvous.hash(Long.toHexString(number));
    }

    /** Returns a run of it at an endpoint. */
    Run run(@Nullable SimulatedEngine cacheHolder, Run.Listener listener) {
        List<Run.CachedPart> parts = new ArrayList<>();
        prompt().ifPresent(shape -> {
            for (int index = 0; index < shape.parts().size(); index++) {
                boolean shared = index < shape.sharedParts();
                parts.add(new Run.CachedPart(
                        shape.chainHash(index + 1), shape.parts().get(index).tokens(), shared));
            }
        });
        return new Run(requestClass, parts, outputTokens, workMillis, cacheHolder, listener);
    }
}
