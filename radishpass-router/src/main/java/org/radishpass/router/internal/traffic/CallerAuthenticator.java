package org.radishpass.router.internal.traffic;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Clock;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;
import org.radishpass.core.admission.PriorityClass;
import org.radishpass.core.outcome.RefusalCode;
import org.radishpass.records.WorkspaceSpec;
import org.radishpass.router.internal.control.RouterControl;
import org.radishpass.router.internal.control.RouterSnapshot;
import org.radishpass.router.internal.endpoint.HeaderNames;
import reactor.netty.http.server.HttpServerRequest;

/**
 * Authenticates the caller of a request by an API key and reads the request's priority class and deadline.
 *
 * <p>An API key has the form {@code WORKSPACE.SECRET}. The workspace's configuration record holds a salted hash of the
 * secret.
 *
 * @since 0.1.0
 */
public final class CallerAuthenticator {
    private static final String BEARER_PREFIX = "Bearer ";
    private static final long MAX_DEADLINE_MILLIS = 24L * 60 * 60 * 1000;

    private final AtomicLong lastRequestNumber = new AtomicLong();
    private final RouterControl control;
    private final Clock clock;

    /**
     * Creates an authenticator.
     *
     * @param control the router's control state
     * @param clock the source of the current time
     */
    public CallerAuthenticator(RouterControl control, Clock clock) {
        this.control = control;
        this.clock = clock;
    }

    /**
     * Authenticates the caller and returns the request's workspace, priority class and deadline.
     *
     * @param request the HTTP request
     * @throws RefusedException if the API key or a header is invalid, or if this router has no configuration yet
     */
    public CallerRequest authenticate(HttpServerRequest request) {
        RouterSnapshot snapshot = control.snapshot();
        if (snapshot.configuration().revision() == 0) {
            throw RefusedException.notRun(RefusalCode.NOT_READY, "this router has no configuration yet");
        }
        HttpHeaders headers = request.requestHeaders();
        WorkspaceSpec workspace = workspace(snapshot, headers.get(HttpHeaderNames.AUTHORIZATION))
                .orElseThrow(() -> RefusedException.notRun(
                        RefusalCode.UNAUTHORIZED, "send Authorization: Bearer WORKSPACE.SECRET with a valid key"));
        PriorityClass priority = priority(headers.get(HeaderNames.PRIORITY), workspace);
        Instant now = clock.instant();
        return new CallerRequest(
                nextRequestId(),
                workspace,
                priority,
                now,
                deadline(headers.get(HeaderNames.DEADLINE), priority, now),
                snapshot);
    }

    /** Returns a new request id, unique in the fleet. */
    public String nextRequestId() {
        return control.id() + '-' + control.incarnation() + '-' + lastRequestNumber.incrementAndGet();
    }

    private static Optional<WorkspaceSpec> workspace(RouterSnapshot snapshot, @Nullable String authorization) {
        if (authorization == null || !authorization.startsWith(BEARER_PREFIX)) {
            return Optional.empty();
        }
        String key = authorization.substring(BEARER_PREFIX.length()).trim();
        int dot = key.indexOf('.');
        if (dot < 0) {
            return Optional.empty();
        }
        String secret = key.substring(dot + 1);
        return snapshot.configuration().workspace(key.substring(0, dot)).filter(workspace -> workspace.accepts(secret));
    }

    private static PriorityClass priority(@Nullable String header, WorkspaceSpec workspace) {
        if (header == null) {
            return workspace.defaultClass();
        }
        return PriorityClass.byWireName(header)
                .orElseThrow(() -> RefusedException.notRun(
                        RefusalCode.BAD_REQUEST, HeaderNames.PRIORITY + " is interactive, check or batch"));
    }

    @SuppressWarnings("PMD.PreserveStackTrace") // a refusal is a response to the caller, so no stack trace is needed
    private static Instant deadline(@Nullable String header, PriorityClass priority, Instant now) {
        if (header == null) {
            return now.plus(priority.defaultTimeout());
        }
        try {
            long millis = Long.parseLong(header.trim());
            if (millis > 0 && millis <= MAX_DEADLINE_MILLIS) {
                return now.plusMillis(millis);
            }
        } catch (NumberFormatException e) {
            throw RefusedException.notRun(
                    RefusalCode.BAD_REQUEST, HeaderNames.DEADLINE + " is not a number: " + e.getMessage());
        }
        throw RefusedException.notRun(
                RefusalCode.BAD_REQUEST, HeaderNames.DEADLINE + " is 1 to " + MAX_DEADLINE_MILLIS);
    }
}
