package org.radishpass.standin.link;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.radishpass.standin.platform.VmEntry;
import reactor.netty.resources.LoopResources;

/**
 * The network between data centres: every machine is reached from another data centre through a link of its own.
 *
 * @since 0.1.0
 */
public final class Network implements AutoCloseable {
    /** The name under which the platform itself is cut off. */
    public static final String PLATFORM = "platform";

    private final ConcurrentHashMap<String, Link> links = new ConcurrentHashMap<>();
    private final Set<String> cut = ConcurrentHashMap.newKeySet();
    private final LoopResources loops;

    /**
     * Creates a network without links.
     *
     * @param loops the event loops
     */
    public Network(LoopResources loops) {
        this.loops = loops;
    }

    /**
     * Returns the port under which a data centre sees a machine.
     *
     * @param observer the data centre
     * @param entry the machine
     */
    public int port(String observer, VmEntry entry) {
        if (observer.isEmpty() || observer.equals(entry.dataCentre())) {
            return entry.port();
        }
        return port(observer, entry.dataCentre(), entry.port());
    }

    /**
     * Returns the port under which a data centre sees a port in another place. Makes the link if it is not there yet,
     * which waits for an event loop; no lock is held meanwhile, since event loops ask here too.
     *
     * @param observer the data centre
     * @param place the other data centre, or {@link #PLATFORM}
     * @param target the port there
     */
    public int port(String observer, String place, int target) {
        String key = observer + '>' + place + ':' + target;
        Link known = links.get(key);
        if (known != null) {
            return known.port();
        }
        Link made = new Link(loops, target, () -> isCut(observer, place));
        Link earlier = links.putIfAbsent(key, made);
        if (earlier == null) {
            return made.port();
        }
        made.close();
        return earlier.port();
    }

    /**
     * Cuts two places off from each other, or joins them again.
     *
     * @param one a data centre
     * @param other another, or {@link #PLATFORM}
     * @param isCut whether they are cut off
     */
    public void cut(String one, String other, boolean isCut) {
        if (isCut) {
            cut.add(pair(one, other));
            links.values().forEach(Link::dropIfCut);
        } else {
            cut.remove(pair(one, other));
        }
    }

    @Override
    public void close() {
        links.values().forEach(Link::close);
    }

    private boolean isCut(String one, String other) {
        return cut.contains(pair(one, other));
    }

    private static String pair(String one, String other) {
        return one.compareTo(other) < 0 ? one + '|' + other : other + '|' + one;
    }
}
