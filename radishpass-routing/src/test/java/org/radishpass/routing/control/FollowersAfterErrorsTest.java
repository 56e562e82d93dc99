package org.radishpass.routing.control;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.radishpass.routing.config.RoutingConfiguration;
import org.radishpass.routing.testing.FakeStore;
import org.radishpass.routing.testing.VirtualScheduler;
import org.radishpass.runtime.thread.ControlThread;

/** Checks that what follows the endpoint list and the configuration goes on, whatever a decoder or a listener throws. */
final class FollowersAfterErrorsTest {
    static Stream<Throwable> failures() {
        return Stream.of(
                new IllegalStateException("failed"),
                new StackOverflowError(),
                new OutOfMemoryError("Java heap space"),
                new AssertionError("failed"),
                new ExceptionInInitializerError("failed"));
    }

    /** Guards against a list that is never read again after one error while it was applied. */
    @ParameterizedTest
    @MethodSource("failures")
    void theEndpointListIsReadAgain(Throwable failure) {
        VirtualScheduler scheduler = new VirtualScheduler();
        FailingListener listener = new FailingListener(failure);
        EndpointListFollower follower = new EndpointListFollower(
                new ControlThread(scheduler), scheduler::millis, new FakeStore().link(), listener);
        follower.start();
        scheduler.advance(Duration.ofSeconds(5));
        assertThat(listener.lists).isAtLeast(3);
        assertThat(listener.unavailable).isEqualTo(listener.lists);
    }

    /** Guards against an error of the decoder that ends the work of the thread instead of rejecting one document. */
    @ParameterizedTest
    @MethodSource("failures")
    void aConfigurationThatCannotBeDecodedChangesNothing(Throwable failure) {
        ConfigurationTracker tracker = new ConfigurationTracker(content -> {
            if (content.length > 1) {
                throw FollowersAfterErrorsTest.<RuntimeException>unchecked(failure);
            }
            return RoutingConfiguration.builder(content[0]).build();
        });
        tracker.offer(new byte[] {7});
        assertThrows(MalformedDocumentException.class, () -> tracker.offer(new byte[] {9, 9}));
        assertThat(tracker.version()).isEqualTo(7);
        assertThat(tracker.offer(new byte[] {8})).isTrue();
    }

    /** Fails on each list. */
    private static final class FailingListener implements EndpointListFollower.Listener {
        private final Throwable failure;
        private int lists;
        private int unavailable;

        private FailingListener(Throwable failure) {
            this.failure = failure;
        }

        @Override
        public boolean readsList() {
            return true;
        }

        @Override
        public void listed(DirectoryReadResult.Listed listed, long askedAtMillis) {
            lists++;
            throw FollowersAfterErrorsTest.<RuntimeException>unchecked(failure);
        }

        @Override
        public void listUnavailable(DirectoryReadResult.Unavailable result, long askedAtMillis) {
            unavailable++;
        }
    }

    @SuppressWarnings({"unchecked", "TypeParameterUnusedInFormals"})
    private static <E extends Throwable> E unchecked(Throwable failure) throws E {
        throw (E) failure;
    }
}
