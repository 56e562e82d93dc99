package org.radishpass.routing.exchange;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.radishpass.routing.dialect.ResponseHead;

/** Tests which request a response belongs to. */
final class ResponseOwnerTest {
    @ParameterizedTest
    @CsvSource(
            nullValues = "-",
            value = {
                // stated id, ambiguous, id of the request, status, reused, ids echoed, owner
                "a, false, a, 200, true, true, THIS_REQUEST",
                "a, false, a, 500, false, true, THIS_REQUEST",
                "b, false, a, 200, true, true, OTHER_REQUEST",
                "b, false, a, 200, false, true, OTHER_REQUEST",
                "a, true, a, 200, false, true, UNKNOWN",
                "-, false, a, 200, false, true, UNKNOWN",
                "-, false, a, 500, true, true, UNKNOWN",
                "-, false, a, 500, false, true, THIS_REQUEST",
                "-, false, '', 200, false, true, THIS_REQUEST",
                "-, false, '', 400, true, true, UNKNOWN",
                "a, false, '', 200, false, true, OTHER_REQUEST",
                "-, false, a, 200, false, false, THIS_REQUEST",
                "-, false, a, 200, true, false, UNKNOWN",
            })
    void theOwnerFollowsFromProof(
            String stated,
            boolean ambiguous,
            String requestId,
            int status,
            boolean reused,
            boolean idsEchoed,
            ResponseOwner owner) {
        ResponseHead head = ResponseHead.builder(status)
                .requestId(stated)
                .ambiguous(ambiguous)
                .build();
        assertThat(ResponseOwner.of(head, requestId, reused, idsEchoed)).isEqualTo(owner);
    }
}
