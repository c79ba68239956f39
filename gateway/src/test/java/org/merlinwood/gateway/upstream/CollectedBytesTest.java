package org.merlinwood.gateway.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against instances whose endless bodies fill the memory of an entry together, each below the limit of one. */
final class CollectedBytesTest {

    private static final int PART_BYTES = 64 << 10;

    @Test
    void largeResponsesFailOnceAllTogetherExceedTheLimitAndSmallOnesDoNot() {
        CollectedBytes collected = new CollectedBytes();
        assertThat(collected.add((int) CollectedBytes.MAXIMUM_BYTES, CollectedBytes.MAXIMUM_BYTES))
                .isTrue();
        assertThat(collected.add(PART_BYTES, PART_BYTES)).isTrue();
        assertThat(collected.add(PART_BYTES, CollectedBytes.ALWAYS_ALLOWED_BYTES + 1))
                .isFalse();
        collected.remove(CollectedBytes.MAXIMUM_BYTES);
        assertThat(collected.add(PART_BYTES, CollectedBytes.MAXIMUM_BYTES)).isTrue();
    }

    @Test
    void releasedBodyGivesItsBytesBackOnceAndTakesNoMore() {
        CollectedBytes collected = new CollectedBytes();
        CollectedBody body = collected.open();
        assertThat(body.add(new byte[PART_BYTES])).isEqualTo(CollectedBody.Next.READ_ON);
        assertThat(collected.heldBytes()).isEqualTo(PART_BYTES);
        body.release();
        body.release();
        assertThat(collected.heldBytes()).isZero();
        assertThat(body.add(new byte[PART_BYTES])).isEqualTo(CollectedBody.Next.STOP);
        assertThat(collected.heldBytes()).isZero();
    }

    @Test
    void discardedBodyHoldsNothingAndStopsAfterItsLimit() {
        CollectedBytes collected = new CollectedBytes();
        CollectedBody body = collected.open();
        body.discard();
        assertThat(body.add(new byte[CollectedBody.MAXIMUM_DISCARDED_BYTES])).isEqualTo(CollectedBody.Next.READ_ON);
        assertThat(body.add(new byte[1])).isEqualTo(CollectedBody.Next.STOP);
        assertThat(collected.heldBytes()).isZero();
        assertThat(body.toByteArray()).isEmpty();
    }
}
