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
 * Keeps the configuration in force: the newest revision that the store accepted, from the store or from a peer.
 *
 * <p>A revision older than the one in force is never taken, whoever offers it: a stale read, a store restored from a
 * copy, a peer that lags. Confined to the control thread.
 *
 * @since 0.1.0
 */
public final class ConfigurationTracker {
    private static final Logger LOG = LoggerFactory.getLogger(ConfigurationTracker.class);
    private static final int CHANGES_KEPT = 1_000;
    private static final Duration PEER_PATIENCE = Duration.ofSeconds(2);

    private final ControlThread control;
    private final ConfigurationStore store;
    private final PeerNode peers;
    private final ChangeListener changed;
    private final Deque<ConfigurationChange> recent = new ArrayDeque<>();
    private volatile Configuration current = Configuration.empty();
    private boolean known;
    private boolean fetching;
    private boolean toldByPeer;

    /**
     * Creates a tracker.
     *
     * @param control the control thread
     * @param store the store
     * @param peers the links to peers
     * @param metrics where the revision is shown
     * @param changed learns when a newer revision is in force
     */
    public ConfigurationTracker(
            ControlThread control,
            ConfigurationStore store,
            PeerNode peers,
            MeterRegistry metrics,
            ChangeListener changed) {
        this.control = control;
        this.store = store;
        this.peers = peers;
        this.changed = changed;
        Gauge.builder("radishpass.configuration.revision", () -> current.revision())
                .description("revision of the configuration in force")
                .register(metrics);
    }

    /** Returns the configuration in force. */
    public Configuration current() {
        return current;
    }

    /** Tells whether the store or a peer has told its revision since the start. */
    public boolean known() {
        return known;
    }

    /** Looks at the store's revision. */
    public void poll() {
        store.head()
                .publishOn(control.scheduler())
                .subscribe(
                        this::heardFromStore,
                        error -> LOG.debug("the store's revision is unknown: {}", error.getMessage()));
    }

    /**
     * Learns of a revision that a peer has in force.
     *
     * @param peer the peer
     * @param revision its revision
     */
    public void heardFromPeer(Optional<Vm> peer, long revision) {
        if (revision > 0) {
            becomeKnown();
        }
        if (revision <= current.revision() || fetching) {
            return;
        }
        fetching = true;
        toldByPeer = true;
        fetchFromStore(() -> peer.ifPresentOrElse(this::fetchFromPeer, () -> fetching = false));
    }

    /**
     * Answers a peer that asks for the configuration.
     *
     * @param after the revision that the peer has
     */
    public PeerMessage.Changes answer(long after) {
        List<ConfigurationChange> changes = new ArrayList<>();
        recent.stream().filter(change -> change.revision() > after).forEach(changes::add);
        boolean whole = after + changes.size() == current.revision();
        return whole
                ? new PeerMessage.Changes(current.revision(), changes, List.of())
                : new PeerMessage.Changes(current.revision(), List.of(), List.copyOf(current.records()));
    }

    private void becomeKnown() {
        if (!known) {
            known = true;
            changed.changed(false);
        }
    }

    private void heardFromStore(long revision) {
        becomeKnown();
        if (revision < current.revision()) {
            LOG.warn(
                    "the store offers revision {}, older than {} in force; it is not taken",
                    revision,
                    current.revision());
            return;
        }
        if (revision > current.revision() && !fetching) {
            fetching = true;
            toldByPeer = false;
            fetchFromStore(() -> fetching = false);
        }
    }

    private void fetchFromStore(Runnable otherwise) {
        if (current.revision() == 0) {
            store.snapshot().publishOn(control.scheduler()).subscribe(this::replace, error -> otherwise.run());
            return;
        }
        store.changesAfter(current.revision())
                .publishOn(control.scheduler())
                .subscribe(this::follow, error -> otherwise.run());
    }

    private void fetchFromPeer(Vm peer) {
        peers.request(peer, new PeerMessage.ChangesWanted(current.revision()), PEER_PATIENCE)
                .publishOn(control.scheduler())
                .subscribe(
                        answer -> {
                            if (answer instanceof PeerMessage.Changes changes) {
                                takeFromPeer(changes);
                            }
                            fetching = false;
                        },
                        error -> fetching = false);
    }

    private void takeFromPeer(PeerMessage.Changes offered) {
        if (offered.revision() <= current.revision()) {
            return;
        }
        if (offered.records().isEmpty()) {
            follow(offered.changes());
        } else {
            replace(Configuration.of(offered.revision(), offered.records()));
        }
    }

    private void replace(Configuration newer) {
        fetching = false;
        if (newer.revision() > current.revision()) {
            recent.clear();
            publish(newer);
        }
    }

    private void follow(List<ConfigurationChange> changes) {
        fetching = false;
        List<ConfigurationChange> fresh = changes.stream()
                .filter(change -> change.revision() > current.revision())
                .toList();
        if (fresh.isEmpty()) {
            return;
        }
        fresh.forEach(recent::addLast);
        while (recent.size() > CHANGES_KEPT) {
            recent.removeFirst();
        }
        publish(current.after(fresh));
    }

    private void publish(Configuration newer) {
        LOG.info("configuration revision {} is in force, after {}", newer.revision(), current.revision());
        current = newer;
        changed.changed(!toldByPeer);
        toldByPeer = false;
    }

    /**
     * Learns when a newer revision is in force.
     *
     * @since 0.1.0
     */
    @FunctionalInterface
    public interface ChangeListener {
        /**
         * Takes the news.
         *
         * @param fromStore whether this router found it in the store by itself, so that peers may not know yet
         */
        void changed(boolean fromStore);
    }
}
