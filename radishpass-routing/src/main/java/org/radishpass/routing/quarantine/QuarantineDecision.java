package org.radishpass.routing.quarantine;

import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Whether and how a request may be sent, and on account of which of its features.
 *
 * @param status the status of the request
 * @param decisiveCause the feature that decided; null if nothing is suspected
 * @param untilMillis when the quarantine of that feature ends, on the monotonic clock in milliseconds
 * @since 0.11.0
 */
public record QuarantineDecision(
        QuarantineStatus status, @Nullable CrashCause decisiveCause, long untilMillis) {
    /** The decision on a request without suspected features. */
    public static final QuarantineDecision CLEAR = new QuarantineDecision(QuarantineStatus.CLEAR, null, 0);

    /** Returns the feature that decided; empty if nothing is suspected. */
    public Optional<CrashCause> cause() {
        return Optional.ofNullable(decisiveCause);
    }
}
