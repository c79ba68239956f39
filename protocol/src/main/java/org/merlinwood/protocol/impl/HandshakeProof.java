package org.merlinwood.protocol.impl;

import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.merlinwood.protocol.AuthenticationKey;
import org.merlinwood.wire.Challenge;
import org.merlinwood.wire.Hello;
import org.merlinwood.wire.Identity;

/**
 * Computes and verifies the proofs of the handshake. A proof is an HMAC-SHA-256 over the side, both nonces and both
 * identities; the side is included so that a proof of one side can't be reflected as that of the other. Immutable.
 */
final class HandshakeProof {

    private static final String ALGORITHM = "HmacSHA256";
    private static final byte ACCEPTING_SIDE = 1;
    private static final byte CONNECTING_SIDE = 2;

    private final List<AuthenticationKey> keys;

    HandshakeProof(List<AuthenticationKey> keys) {
        this.keys = List.copyOf(keys);
    }

    /** Returns the key that this process proposes. */
    AuthenticationKey preferredKey() {
        return keys.getFirst();
    }

    Optional<AuthenticationKey> key(int identifier) {
        return keys.stream().filter(key -> key.identifier() == identifier).findFirst();
    }

    byte[] ofAcceptingSide(AuthenticationKey key, Hello hello, Identity accepting, byte[] acceptingNonce) {
        return computeProof(key, ACCEPTING_SIDE, hello, accepting, acceptingNonce);
    }

    byte[] ofConnectingSide(AuthenticationKey key, Hello hello, Identity accepting, byte[] acceptingNonce) {
        return computeProof(key, CONNECTING_SIDE, hello, accepting, acceptingNonce);
    }

    boolean acceptingSideIsAuthentic(Hello hello, Challenge challenge) {
        byte[] nonce = challenge.getNonce().toByteArray();
        return key(challenge.getKeyIdentifier())
                .map(key -> ofAcceptingSide(key, hello, challenge.getIdentity(), nonce))
                .filter(expected ->
                        MessageDigest.isEqual(expected, challenge.getProof().toByteArray()))
                .isPresent();
    }

    boolean connectingSideIsAuthentic(
            int keyIdentifier, byte[] receivedProof, Hello hello, Identity accepting, byte[] acceptingNonce) {
        return key(keyIdentifier)
                .map(key -> ofConnectingSide(key, hello, accepting, acceptingNonce))
                .filter(expected -> MessageDigest.isEqual(expected, receivedProof))
                .isPresent();
    }

    private static byte[] computeProof(
            AuthenticationKey key, byte side, Hello hello, Identity accepting, byte[] acceptingNonce) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(HexFormat.of().parseHex(key.secretHexadecimal()), ALGORITHM));
            mac.update(side);
            updateWithLength(mac, hello.toByteArray());
            updateWithLength(mac, accepting.toByteArray());
            updateWithLength(mac, acceptingNonce);
            return mac.doFinal();
        } catch (GeneralSecurityException exception) {
            throw new IllegalStateException("the Java runtime does not support " + ALGORITHM, exception);
        }
    }

    private static void updateWithLength(Mac mac, byte[] bytes) {
        mac.update((byte) (bytes.length >>> 8));
        mac.update((byte) bytes.length);
        mac.update(bytes);
    }
}
