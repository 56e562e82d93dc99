package org.radishpass.routing.relay;

import io.netty.handler.codec.http.HttpHeaders;
import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.radishpass.routing.fleet.SoftwareVersion;
import org.radishpass.routing.stream.StreamOrigin;

/**
 * The headers that routers add to relayed requests and to the responses to them. Text that may contain any characters is
 * percent-encoded.
 *
 * @since 0.10.0
 */
public final class RelayHeaders {
    /** Marks a response that the relaying router itself gives, in place of a response of an endpoint. */
    static final String REFUSAL = "Radishpass-Relay-Refusal";

    /**
     * Names a relayed request on its connection; a router repeats it in each response to that request. Routers of releases
     * before 0.16.0 do not.
     */
    static final String CALL = "Radishpass-Relay-Call";

    private static final String PREFIX = "Radishpass-Relay-";
    private static final String SENDER = PREFIX + "Sender";
    private static final String CONFIGURATION = PREFIX + "Configuration";
    private static final String WORKSPACE = PREFIX + "Workspace";
    private static final String REMAINING = PREFIX + "Remaining-Ms";
    private static final String ATTEMPTS = PREFIX + "Attempts";
    private static final String RESUME_AFTER = PREFIX + "Resume-After";
    private static final String ORIGIN_SERVICE = PREFIX + "Origin-Service";
    private static final String ORIGIN_VERSION = PREFIX + "Origin-Version";
    private static final String ATTEMPTS_USED = PREFIX + "Attempts-Used";
    private static final String ENDPOINT_SENDS = PREFIX + "Endpoint-Sends";
    private static final String BODY_BYTES = PREFIX + "Body-Bytes";
    private static final String BODY_DECLARED = PREFIX + "Body-Declared";

    private RelayHeaders() {
        // static methods only
    }

    /**
     * Tells whether a value of {@link #REFUSAL} says that the request was rejected before it was read, and not refused by
     * the router that received it.
     */
    static boolean isRejection(String refusal) {
        return Arrays.stream(RelayGate.Rejection.values())
                .anyMatch(reason -> reason.name().equals(refusal));
    }

    /** Removes all headers of this class, such as those that a caller has sent. */
    static void strip(HttpHeaders headers) {
        headers.names().stream()
                .filter(name -> name.regionMatches(true, 0, PREFIX, 0, PREFIX.length()))
                .toList()
                .forEach(headers::remove);
    }

    /** Replaces the headers of this class by those of the given terms. */
    static void encode(RelayTerms terms, HttpHeaders headers) {
        strip(headers);
        headers.set(SENDER, terms.senderId());
        headers.set(CONFIGURATION, Long.toString(terms.configurationVersion()));
        headers.set(REMAINING, Long.toString(terms.remainingMillis()));
        headers.set(ATTEMPTS, Integer.toString(terms.attempts()));
        headers.set(BODY_BYTES, Long.toString(terms.bodyBytes()));
        headers.set(BODY_DECLARED, Boolean.toString(terms.bodyDeclared()));
        terms.workspace().ifPresent(name -> headers.set(WORKSPACE, encodeText(name)));
        terms.origin().ifPresent(origin -> encodeOrigin(origin, headers));
        String resumeAfter = terms.resumeAfter();
        if (resumeAfter != null) {
            headers.set(RESUME_AFTER, encodeText(resumeAfter));
        }
    }

    /**
     * Decodes the terms of a relayed request.
     *
     * @throws MalformedRelayException if a header is missing or cannot be read
     */
    static RelayTerms decode(HttpHeaders headers) throws MalformedRelayException {
        String sender = headers.get(SENDER, "");
        if (sender.isBlank()) {
            throw new MalformedRelayException("the header " + SENDER + " is missing");
        }
        return RelayTerms.builder(sender)
                .configurationVersion(number(headers, CONFIGURATION, Long.MIN_VALUE, Long.MAX_VALUE))
                .workspace(text(headers, WORKSPACE))
                .remainingMillis(number(headers, REMAINING, 1, Integer.MAX_VALUE))
                .attempts((int) number(headers, ATTEMPTS, 1, Integer.MAX_VALUE))
                .resumeAfter(text(headers, RESUME_AFTER))
                .origin(origin(headers).orElse(null))
                .body(
                        number(headers, BODY_BYTES, 0, Integer.MAX_VALUE),
                        Boolean.parseBoolean(headers.get(BODY_DECLARED)))
                .build();
    }

    /** Sets the headers that tell which service and software version began, or is to continue, a stream. */
    public static void encodeOrigin(StreamOrigin origin, HttpHeaders headers) {
        headers.set(ORIGIN_SERVICE, encodeText(origin.service()));
        headers.set(ORIGIN_VERSION, encodeText(origin.version().name()));
    }

    /** Returns what began the stream of a response, and removes it from the headers; empty if the router did not tell. */
    public static Optional<StreamOrigin> removeOrigin(HttpHeaders headers) {
        Optional<StreamOrigin> origin;
        try {
            origin = origin(headers);
        } catch (MalformedRelayException e) {
            origin = Optional.empty(); // no endpoint continues a stream of unknown origin
        }
        headers.remove(ORIGIN_SERVICE).remove(ORIGIN_VERSION);
        return origin;
    }

    /**
     * Sets the header that tells how many endpoints may have run a relayed request, the one that responds included.
     *
     * @since 0.12.0
     */
    public static void encodeAttemptsUsed(int attempts, HttpHeaders headers) {
        headers.setInt(ATTEMPTS_USED, attempts);
    }

    /**
     * Returns how many endpoints may have run a relayed request, and removes it from the headers; one if the router did not
     * tell.
     *
     * @since 0.12.0
     */
    public static int removeAttemptsUsed(HttpHeaders headers) {
        int attempts = headers.getInt(ATTEMPTS_USED, 1);
        headers.remove(ATTEMPTS_USED);
        return Math.max(1, attempts);
    }

    /**
     * Sets the header of a refusal that tells how many times the relayed request was sent to an endpoint.
     *
     * @since 0.13.0
     */
    public static void encodeEndpointSends(int sends, HttpHeaders headers) {
        headers.setInt(ENDPOINT_SENDS, sends);
    }

    /** Sets the same header to 0 unless it is set. */
    static void encodeNoEndpointSends(HttpHeaders headers) {
        if (!headers.contains(ENDPOINT_SENDS)) {
            headers.setInt(ENDPOINT_SENDS, 0);
        }
    }

    /**
     * Returns how many times a refused request was sent to an endpoint, and removes it from the headers; once if the router
     * did not tell.
     *
     * @since 0.13.0
     */
    public static int removeEndpointSends(HttpHeaders headers) {
        int sends = headers.getInt(ENDPOINT_SENDS, 1);
        headers.remove(ENDPOINT_SENDS);
        return Math.max(0, sends);
    }

    private static Optional<StreamOrigin> origin(HttpHeaders headers) throws MalformedRelayException {
        String service = text(headers, ORIGIN_SERVICE);
        String version = text(headers, ORIGIN_VERSION);
        return service == null || version == null
                ? Optional.empty()
                : Optional.of(new StreamOrigin(service, new SoftwareVersion(version)));
    }

    private static long number(HttpHeaders headers, String name, long min, long max) throws MalformedRelayException {
        String value = headers.get(name, "");
        try {
            long number = Long.parseLong(value);
            if (number >= min && number <= max) {
                return number;
            }
        } catch (NumberFormatException e) {
            throw new MalformedRelayException("the header " + name + " is not a number", e);
        }
        throw new MalformedRelayException("the header " + name + " is out of range");
    }

    private static @Nullable String text(HttpHeaders headers, String name) throws MalformedRelayException {
        String value = headers.get(name);
        try {
            return value == null ? null : URLDecoder.decode(value, StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            throw new MalformedRelayException("the header " + name + " is not encoded", e);
        }
    }

    private static String encodeText(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }
}
