package org.radishpass.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.radishpass.core.placement.Rendezvous;
import org.radishpass.routing.dialect.PromptDescription;
import org.radishpass.routing.dialect.PromptPart;

/**
 * A request as its caller sends it, with the work that it causes.
 *
 * @param requestClass the class of the request
 * @param number the sequence number over all requests of the simulation
 * @param subject the number of the subject; requests of a class on the same subject share a part of the prompt
 * @param outputTokens the number of tokens of the answer; 0 for a request to a plain service
 * @param workMillis the processing time at a plain service, in milliseconds
 */
record SimulatedRequest(RequestClass requestClass, long number, int subject, int outputTokens, double workMillis) {
    private static final String MODEL = "m";

    /** Returns the description of the prompt, or empty for a request to a plain service. */
    Optional<PromptDescription> promptDescription() {
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

    /** Returns a hash of this request whose bits are evenly distributed. */
    long hash() {
        return Rendezvous.hash(Long.toHexString(number));
    }

    /** Creates a run of this request for one endpoint. */
    Run run(@Nullable SimulatedEngine cacheHolder, Run.Listener listener) {
        List<Run.CachedPart> parts = new ArrayList<>();
        promptDescription().ifPresent(shape -> {
            for (int index = 0; index < shape.parts().size(); index++) {
                boolean shared = index < shape.sharedParts();
                parts.add(new Run.CachedPart(
                        shape.chainHash(index + 1), shape.parts().get(index).tokens(), shared));
            }
        });
        return new Run(requestClass, parts, outputTokens, workMillis, cacheHolder, listener);
    }
}
