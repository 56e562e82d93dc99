package org.radishpass.standin.link;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.radishpass.standin.platform.VmEntry;
import reactor.netty.resources.LoopResources;

/**
 * Simulated network between data centres. A data centre reaches each machine of another data centre through a
 * separate link, and links can be cut.
 *
 * @since 0.1.0
 */
public final class Network implements AutoCloseable {
    /** The place name of the platform, which is outside all data centres. */
    public static final String PLATFORM = "platform";

    private final ConcurrentHashMap<String, Link> links = new ConcurrentHashMap<>();
    private final Set<String> cutPairs = ConcurrentHashMap.newKeySet();
    private final LoopResources loops;

    /**
     * Creates a network without links.
     *
     * @param loops the event loops on which links run
     */
    public Network(LoopResources loops) {
        this.loops = loops;
    }

    /**
     * Returns the local port through which a data centre reaches a machine.
     *
     * @param observer the data centre that connects; empty for a direct connection
     * @param entry the machine
     */
    public int observedPort(String observer, VmEntry entry) {
        if (observer.isEmpty() || observer.equals(entry.dataCentre())) {
            return entry.port();
        }
        return observedPort(observer, entry.dataCentre(), entry.port());
    }

    /**
     * Returns the local port through which a data centre reaches a port in another place. Creates the link on first
     * use, which blocks until an event loop has bound a port. No lock is held during that wait, because event loops
     * call this method too.
     *
     * @param observer the data centre that connects
     * @param place the other data centre, or {@link #PLATFORM}
     * @param targetPort the port in the other place
     */
    public int observedPort(String observer, String place, int targetPort) {
        String key = observer + '>' + place + ':' + targetPort;
        Link existing = links.get(key);
        if (existing != null) {
            return existing.port();
        }
        Link created = new Link(loops, targetPort, () -> isCut(observer, place));
        Link concurrent = links.putIfAbsent(key, created);
        if (concurrent == null) {
            return created.port();
        }
        created.close();
        return concurrent.port();
    }

    /**
     * Cuts all links between two places, or restores them.
     *
     * @param one a data centre, or {@link #PLATFORM}
     * @param other another data centre, or {@link #PLATFORM}
     * @param isCut whether the places are cut off from each other
     */
    public void setCut(String one, String other, boolean isCut) {
        if (isCut) {
            cutPairs.add(pairKey(one, other));
            links.values().forEach(Link::closeConnectionsIfCut);
        } else {
            cutPairs.remove(pairKey(one, other));
        }
    }

    @Override
    public void close() {
        links.values().forEach(Link::close);
    }

    private boolean isCut(String one, String other) {
        return cutPairs.contains(pairKey(one, other));
    }

    private static String pairKey(String one, String other) {
        return one.compareTo(other) < 0 ? one + '|' + other : other + '|' + one;
    }
}
