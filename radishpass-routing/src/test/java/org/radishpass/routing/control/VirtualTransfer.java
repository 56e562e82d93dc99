package org.radishpass.routing.control;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.radishpass.routing.testing.VirtualScheduler;
import org.radishpass.runtime.transfer.TransferProgress;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** Simulates a transfer in virtual time that times out by the same rules as a real transfer. */
final class VirtualTransfer<T> {
    private final VirtualScheduler scheduler;
    private final TransferProgress progress;
    private final Sinks.One<T> result = Sinks.one();
    private boolean finished;

    VirtualTransfer(VirtualScheduler scheduler) {
        this.scheduler = scheduler;
        this.progress = new TransferProgress(scheduler.millis());
        watch();
    }

    /** Returns the result of the transfer. */
    Mono<T> result() {
        return result.asMono();
    }

    /** Records that some bytes have arrived. */
    void received(long bytes) {
        progress.received(bytes, scheduler.millis());
    }

    /** Completes the transfer. */
    void complete(T value) {
        if (!finished) {
            finished = true;
            result.tryEmitValue(value);
        }
    }

    private void watch() {
        long remainingMillis = progress.deadlineMillis() - scheduler.millis();
        if (finished) {
            return;
        }
        if (remainingMillis < 0) {
            finished = true;
            result.tryEmitError(new IOException("the transfer stalled after " + progress.bytes() + " bytes"));
            return;
        }
        scheduler.schedule(this::watch, remainingMillis + 1, TimeUnit.MILLISECONDS);
    }
}
