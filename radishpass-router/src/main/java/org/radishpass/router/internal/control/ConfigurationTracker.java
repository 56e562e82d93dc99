package org.radishpass.router.internal.control;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.radishpass.core.fleet.Vm;
import org.radishpass.peer.message.PeerMessage;
import org.radishpass.peer.transport.PeerNode;
import org.radishpass.records.Configuration;
import org.radishpass.records.ConfigurationChange;
import org.radishpass.runtime.thread.ControlThread;
import org.radishpass.tables.configuration.ConfigurationStore;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tracks the active configuration, which is the newest revision that was read from the store or from a peer.
 *
 * <p>An older revision never replaces the active revision. Older revisions come from stale reads, from a store that was
 * restored from a backup and from peers that lag. Confined to the control thread.
 *
 * @since 0.1.0
 */
public final class ConfigurationTracker {
    private static final Logger LOG = LoggerFactory.getLogger(ConfigurationTracker.class);
    private static final int MAX_RECENT_CHANGES = 1_000;
    private static final Duration PEER_TIMEOUT = Duration.ofSeconds(2);

    private final ControlThread controlThread;
    private final ConfigurationStore store;
    private final PeerNode peers;
    private final ChangeListener listener;
    private final Deque<ConfigurationChange> recentChanges = new ArrayDeque<>();
    private volatile Configuration current = Configuration.empty();
    private boolean revisionKnown;
    private boolean fetching;
    private boolean announcedByPeer;

    /**
     * Creates a tracker.
     *
     * @param controlThread the control thread
     * @param store the configuration store
     * @param peers the links to peers
     * @param metrics the registry that publishes the active revision
     * @param listener called after a newer revision becomes active, and when the revision is first known
     */
    public ConfigurationTracker(
            ControlThread controlThread,
            ConfigurationStore store,
            PeerNode peers,
            MeterRegistry metrics,
            ChangeListener listener) {
        this.controlThread = controlThread;
        this.store = store;
        this.peers = peers;
        this.listener = listener;
        Gauge.builder("radishpass.configuration.revision", () -> current.revision())
                .description("revision of the configuration in force")
                .register(metrics);
    }

    /** Returns the active configuration. */
    public Configuration current() {
        return current;
    }

    /** Returns whether the store or a peer has reported its revision since this router started. */
    public boolean revisionKnown() {
        return revisionKnown;
    }

    /** Requests the store's current revision and fetches the configuration if that revision is newer. */
    public void poll() {
        store.headRevision()
                .publishOn(controlThread.scheduler())
                .subscribe(
                        this::onStoreRevision,
                        error -> LOG.debug(
                                "cannot read the store's configuration revision; the next poll retries: {}",
                                error.getMessage()));
    }

    /**
     * Handles a peer's active revision: fetches newer changes from the store or, if the store fails, from the peer.
     *
     * @param peer the peer, or empty if the peer is not in the fleet view
     * @param revision the peer's active revision
     */
    public void onPeerRevision(Optional<Vm> peer, long revision) {
        if (revision > 0) {
            markRevisionKnown();
        }
        if (revision <= current.revision() || fetching) {
            return;
        }
        fetching = true;
        announcedByPeer = true;
        fetchFromStore(() -> peer.ifPresentOrElse(this::fetchFromPeer, () -> fetching = false));
    }

    /**
     * Returns the changes after a revision, or all records if the recent changes do not cover them.
     *
     * @param after the revision that the requesting peer has
     */
    public PeerMessage.Changes changesAfter(long after) {
        List<ConfigurationChange> changes = new ArrayList<>();
        recentChanges.stream().filter(change -> change.revision() > after).forEach(changes::add);
        boolean complete = after + changes.size() == current.revision();
        return complete
                ? new PeerMessage.Changes(current.revision(), changes, List.of())
                : new PeerMessage.Changes(current.revision(), List.of(), List.copyOf(current.records()));
    }

    private void markRevisionKnown() {
        if (!revisionKnown) {
            revisionKnown = true;
            listener.onChange(false);
        }
    }

    private void onStoreRevision(long revision) {
        markRevisionKnown();
        if (revision < current.revision()) {
            LOG.warn(
                    "ignored revision {} of the store, which is older than the active revision {}",
                    revision,
                    current.revision());
            return;
        }
        if (revision > current.revision() && !fetching) {
            fetching = true;
            announcedByPeer = false;
            fetchFromStore(() -> fetching = false);
        }
    }

    private void fetchFromStore(Runnable onFailure) {
        if (current.revision() == 0) {
            store.snapshot().publishOn(controlThread.scheduler()).subscribe(this::replace, error -> onFailure.run());
            return;
        }
        store.changesAfter(current.revision())
                .publishOn(controlThread.scheduler())
                .subscribe(this::applyChanges, error -> onFailure.run());
    }

    private void fetchFromPeer(Vm peer) {
        peers.request(peer, new PeerMessage.ChangesWanted(current.revision()), PEER_TIMEOUT)
                .publishOn(controlThread.scheduler())
                .subscribe(
                        reply -> {
                            if (reply instanceof PeerMessage.Changes changes) {
                                applyFromPeer(changes);
                            }
                            fetching = false;
                        },
                        error -> fetching = false);
    }

    private void applyFromPeer(PeerMessage.Changes received) {
        if (received.revision() <= current.revision()) {
            return;
        }
        if (received.records().isEmpty()) {
            applyChanges(received.changes());
        } else {
            replace(Configuration.of(received.revision(), received.records()));
        }
    }

    private void replace(Configuration newer) {
        fetching = false;
        if (newer.revision() > current.revision()) {
            recentChanges.clear();
            publish(newer);
        }
    }

    private void applyChanges(List<ConfigurationChange> changes) {
        fetching = false;
        List<ConfigurationChange> newChanges = changes.stream()
                .filter(change -> change.revision() > current.revision())
                .toList();
        if (newChanges.isEmpty()) {
            return;
        }
        newChanges.forEach(recentChanges::addLast);
        while (recentChanges.size() > MAX_RECENT_CHANGES) {
            recentChanges.removeFirst();
        }
        publish(current.after(newChanges));
    }

    private void publish(Configuration newer) {
        LOG.info("configuration revision {} is active and replaces revision {}", newer.revision(), current.revision());
        current = newer;
        listener.onChange(!announcedByPeer);
        announcedByPeer = false;
    }

    /**
     * Receives changes of the active configuration.
     *
     * @since 0.1.0
     */
    @FunctionalInterface
    public interface ChangeListener {
        /**
         * Called when the revision is first known and whenever a newer revision becomes active.
         *
         * @param fromStore whether this router found the newer revision by polling the store, so that peers may not
         *     know of the revision yet
         */
        void onChange(boolean fromStore);
    }
}
