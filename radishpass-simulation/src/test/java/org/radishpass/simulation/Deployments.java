package org.radishpass.simulation;

import org.radishpass.routing.config.RequestKind;
import org.radishpass.routing.retry.RetryAllowance;

/**
 * The medium-sized deployment of the simulation tests: 7 routers, 13 engines, 3 plain endpoints with 6 slots each, and
 * 150 requests per second. Rates, prompts and speeds are those that users gave for their medium-sized deployments.
 */
final class Deployments {
    static final String ENGINES = "engines";
    static final String PLAIN = "plain";
    static final EngineSettings ENGINE = new EngineSettings(96, 679_000, 3.41, 40, 0.05, 112, 2_048);

    static final RequestClass DRAFT = new RequestClass(
            "draft", ENGINES, RequestKind.RESUMABLE_STREAM, 26, 800, 15_000, 2, 56, 4_000, 6_512, 1_300, 384, 0);
    static final RequestClass ANSWER =
            new RequestClass("answer", ENGINES, RequestKind.STREAM, 37, 400, 12_000, 1, 79, 300, 399, 130, 294, 0);
    static final RequestClass TAG = new RequestClass(
            "tag", ENGINES, RequestKind.RESUMABLE_STREAM, 48, 500, 3_000, 2, 234, 1_000, 1_041, 360, 24, 0);
    static final RequestClass ORDER =
            new RequestClass("order", PLAIN, RequestKind.NON_IDEMPOTENT, 28, 386, 3_000, 1, 1, 0, 0, 0, 0, 86);
    static final RequestClass LOOKUP =
            new RequestClass("lookup", PLAIN, RequestKind.IDEMPOTENT, 11, 386, 3_000, 2, 1, 0, 0, 0, 0, 86);

    private Deployments() {
        // static methods only
    }

    static Deployment.Builder mediumSize() {
        return Deployment.builder()
                .routers(7)
                .retryAllowance(new RetryAllowance(0.2, 54, 10_000))
                .engines(ENGINES, 13, ENGINE)
                .plain(PLAIN, 3, 6, 24)
                .requestClass(DRAFT)
                .requestClass(ANSWER)
                .requestClass(TAG)
                .requestClass(ORDER)
                .requestClass(LOOKUP);
    }
}
