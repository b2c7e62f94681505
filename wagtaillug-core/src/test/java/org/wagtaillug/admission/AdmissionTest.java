package org.wagtaillug.admission;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.wagtaillug.id.CustomerId;
import org.wagtaillug.result.ResultCode;

class AdmissionTest {
    private static final CustomerId LARGE = new CustomerId("large");
    private static final CustomerId SMALL = new CustomerId("small");

    @Test
    void aBurstOfALargeCustomerLeavesCapacityForASmallOne() {
        // A large customer sends five times its usual load while a small one sends requests too. Without shares, the
        // burst would fill the node and the requests of the small customer would be refused.
        Admission admission = new Admission(100);
        admission.onAdmitted(SMALL, 1);
        int admitted = 0;
        while (admission.refusalReason(LARGE, 4).isEmpty()) {
            admission.onAdmitted(LARGE, 4);
            admitted++;
        }
        assertThat(admitted).isEqualTo(80);
        assertThat(admission.refusalReason(LARGE, 4).get()).isEqualTo(ResultCode.CUSTOMER_OVER_SHARE);
        for (int more = 0; more < 19; more++) {
            assertThat(admission.refusalReason(SMALL, 1).isEmpty()).isTrue();
            admission.onAdmitted(SMALL, 1);
        }
        assertThat(admission.refusalReason(SMALL, 1).isDefined()).isTrue();
    }

    @Test
    void aSingleActiveCustomerMayUseTheWholeCapacity() {
        Admission admission = new Admission(10);
        while (admission.refusalReason(LARGE, 1).isEmpty()) {
            admission.onAdmitted(LARGE, 1);
        }
        assertThat(admission.total()).isEqualTo(10);
        admission.onAnswered(LARGE);
        assertThat(admission.refusalReason(LARGE, 1).isEmpty()).isTrue();
    }
}
