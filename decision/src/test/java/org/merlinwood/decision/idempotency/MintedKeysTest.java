package org.merlinwood.decision.idempotency;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.merlinwood.configuration.settings.SharedKey;
import org.merlinwood.core.identity.CallerName;
import org.merlinwood.core.identity.IdempotencyKey;
import org.merlinwood.core.identity.Incarnation;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.core.identity.ServiceName;
import org.merlinwood.core.result.ResultCode;

final class MintedKeysTest {

    private static final SharedKey FIRST = new SharedKey(1, "11".repeat(32));
    private static final SharedKey SECOND = new SharedKey(2, "22".repeat(32));
    private static final CallerName CALLER = new CallerName("station-7");
    private static final MintedKey EXPECTED =
            new MintedKey(new ServiceName("ledger"), new InstanceName("ledger-2"), new Incarnation(-5), 1_234L);

    @Test
    void verifiesAMintedKey() {
        assertThat(MintedKeys.verify(mint(FIRST).value(), CALLER, List.of(FIRST))
                        .get())
                .isEqualTo(EXPECTED);
    }

    @Test
    void acceptsEitherOfTwoValidKeys() {
        assertThat(MintedKeys.verify(mint(FIRST).value(), CALLER, List.of(SECOND, FIRST))
                        .isRight())
                .isTrue();
    }

    @Test
    void refusesAnotherSecret() {
        assertThat(MintedKeys.verify(mint(FIRST).value(), CALLER, List.of(SECOND))
                        .getLeft()
                        .code())
                .isEqualTo(ResultCode.KEY_NOT_AUTHENTIC);
    }

    @Test
    void refusesAnotherCaller() {
        assertThat(MintedKeys.verify(mint(FIRST).value(), new CallerName("other"), List.of(FIRST))
                        .getLeft()
                        .code())
                .isEqualTo(ResultCode.KEY_NOT_AUTHENTIC);
    }

    @ParameterizedTest
    @ValueSource(ints = {6, 20, 40, 60})
    void refusesAKeyWithAChangedCharacter(int position) {
        StringBuilder text = new StringBuilder(mint(FIRST).value());
        text.setCharAt(position, text.charAt(position) == 'A' ? 'B' : 'A');
        assertThat(MintedKeys.verify(text.toString(), CALLER, List.of(FIRST))
                        .getLeft()
                        .code())
                .isEqualTo(ResultCode.KEY_NOT_AUTHENTIC);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "mk1.", "mk1.a", "mk1.a.b.c", "mk1.!.!", "own-key"})
    void refusesAMalformedKey(String text) {
        assertThat(MintedKeys.verify(text, CALLER, List.of(FIRST)).getLeft().code())
                .isIn(ResultCode.KEY_MALFORMED, ResultCode.KEY_NOT_AUTHENTIC);
    }

    private static IdempotencyKey mint(SharedKey key) {
        return MintedKeys.mint(
                EXPECTED.service(),
                EXPECTED.instance(),
                EXPECTED.incarnation(),
                CALLER,
                EXPECTED.mintedWallMillis(),
                99L,
                key);
    }
}
