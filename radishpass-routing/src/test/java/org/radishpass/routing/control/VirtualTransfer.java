package org.radishpass.routing.control;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.radishpass.routing.testing.VirtualScheduler;
import org.radishpass.runtime.transfer.TransferProgress;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** A transfer in virtual time that is given up as the product gives transfers up. */
final class VirtualTransfer<T> {
    private final VirtualScheduler scheduler;
    private final TransferProgress progress;
    private final Sinks.One<T> result = Sinks.one();
    private boolean over;

    VirtualTransfer(VirtualScheduler scheduler) {
        this.scheduler = scheduler;
        this.progress = new TransferProgress(scheduler.millis());
        watch();
    }

    /** Returns what comes of it. */
    Mono<T> result() {
        return result.asMono();
    }

    /** Some bytes have come. */
    void received(long bytes) {
        progress.received(bytes, scheduler.millis());
    }

    /** All of it has come. */
    void whole(T value) {
        if (!over) {
            over = true;
            result.tryEmitValue(value);
        }
    }

    private void watch() {
        long leftMillis = progress.deadlineMillis() - scheduler.millis();
        if (over) {
            return;
        }
        if (leftMillis < 0) {
            over = true;
            result.tryEmitError(new IOException("given up after " + progress.bytes() + " bytes"));
            return;
        }
        scheduler.schedule(this::watch, leftMillis + 1, TimeUnit.MILLISECONDS);
    }
}
