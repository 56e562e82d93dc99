package org.radishpass.routing.quarantine;

/**
 * The three numbers that name a {@link CrashCause} in messages between routers and in rows of the store. A part of a
 * prompt is named like a request whose target is {@link #PROMPT_PART_TARGET}, so that routers of earlier releases accept
 * and forward it; to them it is a request that no caller ever sends.
 *
 * @param workspace the digest of the workspace's name
 * @param target the digest of the target of a request, or {@link #PROMPT_PART_TARGET}
 * @param content the digest of the body of a request, or the hash of the part of a prompt
 * @since 0.11.0
 */
public record CauseDigests(long workspace, long target, long content) {
    /** The target that marks a part of a prompt: the first bytes of "prompt part" in ASCII. */
    static final long PROMPT_PART_TARGET = 0x70726f6d70742070L;

    /** Returns the cause that these digests name. */
    public CrashCause cause() {
        return target == PROMPT_PART_TARGET
                ? new PromptPartFingerprint(workspace, content)
                : new RequestFingerprint(workspace, target, content);
    }
}
