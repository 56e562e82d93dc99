package org.radishpass.routing.quarantine;

import java.util.ArrayList;
import java.util.List;
import org.radishpass.core.placement.Rendezvous;
import org.radishpass.routing.dialect.PromptDescription;
import org.radishpass.routing.dialect.PromptPart;

/**
 * Identifies a part of a prompt that requests of one workspace share, whichever router receives them.
 *
 * <p>The workspace is a component because the id of a part is the caller's own statement. A caller that states the ids of
 * another workspace's parts changes nothing that is known of them. Within a workspace, 64 bits of a hash that is not
 * cryptographic suffice.
 *
 * @param workspace the digest of the workspace's name, as in {@link RequestFingerprint#workspace}
 * @param part the hash of the service and of the part's id
 * @since 0.11.0
 */
public record PromptPartFingerprint(long workspace, long part) implements CrashCause {
    /**
     * The maximum number of parts of one prompt that are considered: the last ones, because the first ones are shared by
     * the most requests and are soon known to be harmless.
     */
    static final int MAX_PARTS_OF_REQUEST = 256;

    /**
     * Returns the fingerprints of the parts of a prompt that other requests may share, in order.
     *
     * @param workspace the digest of the workspace's name
     * @param service the service of the request
     * @param prompt the prompt
     */
    public static List<PromptPartFingerprint> sharedParts(long workspace, String service, PromptDescription prompt) {
        int end = prompt.sharedParts();
        List<PromptPart> parts = prompt.parts().subList(Math.max(0, end - MAX_PARTS_OF_REQUEST), end);
        long serviceHash = Rendezvous.hash(service);
        List<PromptPartFingerprint> fingerprints = new ArrayList<>(parts.size());
        for (PromptPart part : parts) {
            long partHash = Rendezvous.mix(serviceHash, Rendezvous.hash(part.id()));
            fingerprints.add(new PromptPartFingerprint(workspace, partHash));
        }
        return fingerprints;
    }

    @Override
    public CauseKind kind() {
        return CauseKind.PROMPT_PART;
    }

    @Override
    public CauseDigests digests() {
        return new CauseDigests(workspace, CauseDigests.PROMPT_PART_TARGET, part);
    }

    /** Returns a shortened form for logs. */
    @Override
    public String toString() {
        return RequestFingerprint.loggedBits(workspace) + "-part-" + RequestFingerprint.loggedBits(part);
    }
}
