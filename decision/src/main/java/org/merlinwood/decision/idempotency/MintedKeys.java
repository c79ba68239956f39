package org.merlinwood.decision.idempotency;

import io.vavr.control.Either;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Base64;
import java.util.List;
import org.apache.commons.codec.digest.HmacAlgorithms;
import org.apache.commons.codec.digest.HmacUtils;
import org.merlinwood.configuration.settings.SharedKey;
import org.merlinwood.core.identity.CallerName;
import org.merlinwood.core.identity.IdempotencyKey;
import org.merlinwood.core.identity.Incarnation;
import org.merlinwood.core.identity.InstanceName;
import org.merlinwood.core.identity.ServiceName;
import org.merlinwood.core.result.Failure;
import org.merlinwood.core.result.ResultCode;

/**
 * Mints idempotency keys and verifies them. Stateless, thread-safe.
 *
 * <p>A minted key has the form {@code mk1.CONTENT.PROOF}, with both parts in unpadded URL-safe Base64. The content
 * consists of service, instance, incarnation, minting time and 64 random bits. The proof is an HMAC-SHA-256 over
 * content and caller, so that a caller can't use the key of another caller.
 */
public final class MintedKeys {

    /** Prefix of every minted key. A caller's own key that starts with it is refused. */
    public static final String PREFIX = "mk1.";

    private static final String SEPARATOR = ".";
    private static final int PARTS = 2;
    private static final int MAXIMUM_NAME_BYTES = 255;
    private static final int MAXIMUM_TEXT_CHARACTERS = 1_024;
    private static final byte[] PROOF_PURPOSE = "merlinwood minted key 1\n".getBytes(StandardCharsets.UTF_8);

    private MintedKeys() {}

    /**
     * Mints a key.
     *
     * @param service the service that the key is for
     * @param instance the only instance that may run its request
     * @param incarnation the only incarnation of that instance's sidecar that may run its request
     * @param caller the only caller that may use it
     * @param wallMillis wall time, in milliseconds since 1970-01-01T00:00:00Z
     * @param random 64 random bits that make the key unique
     * @param secretKey the secret key of the proof
     * @return the minted key
     * @throws IllegalArgumentException if a name is longer than 255 bytes
     */
    public static IdempotencyKey mint(
            ServiceName service,
            InstanceName instance,
            Incarnation incarnation,
            CallerName caller,
            long wallMillis,
            long random,
            SharedKey secretKey) {
        byte[] content = content(new MintedKey(service, instance, incarnation, wallMillis), random);
        byte[] proof = proof(content, caller, secretKey);
        return new IdempotencyKey(PREFIX + encode(content) + SEPARATOR + encode(proof));
    }

    /**
     * Tells whether a key has the prefix of minted keys.
     *
     * @param key the key
     * @return true for a key that claims to be minted; {@link #verify} checks whether it is
     */
    public static boolean isMinted(IdempotencyKey key) {
        return key.value().startsWith(PREFIX);
    }

    /**
     * Verifies a minted key and reads its content.
     *
     * @param text the key as the caller sent it
     * @param caller the caller that sent it
     * @param keys the valid secret keys
     * @return the content of the key; {@link ResultCode#KEY_MALFORMED} if it does not have the expected form,
     *     {@link ResultCode#KEY_NOT_AUTHENTIC} if no valid secret key confirms its proof for this caller
     */
    public static Either<Failure, MintedKey> verify(String text, CallerName caller, List<SharedKey> keys) {
        if (!text.startsWith(PREFIX) || text.length() > MAXIMUM_TEXT_CHARACTERS) {
            return Either.left(malformedFailure());
        }
        String[] parts = text.substring(PREFIX.length()).split("\\.", -1);
        if (parts.length != PARTS) {
            return Either.left(malformedFailure());
        }
        try {
            return verify(decode(parts[0]), decode(parts[1]), caller, keys);
        } catch (IllegalArgumentException | BufferUnderflowException exception) {
            return Either.left(malformedFailure());
        }
    }

    private static Either<Failure, MintedKey> verify(
            byte[] content, byte[] proof, CallerName caller, List<SharedKey> keys) {
        boolean authentic = false;
        for (SharedKey key : keys) {
            authentic |= MessageDigest.isEqual(proof, proof(content, caller, key));
        }
        if (!authentic) {
            return Either.left(Failure.of(
                    ResultCode.KEY_NOT_AUTHENTIC, "the key was not minted by this fleet for caller " + caller));
        }
        return Either.right(parse(ByteBuffer.wrap(content)));
    }

    private static byte[] content(MintedKey key, long random) {
        byte[] service = nameBytes(key.service().value());
        byte[] instance = nameBytes(key.instance().value());
        return ByteBuffer.allocate(3 * Long.BYTES + 2 + service.length + instance.length)
                .putLong(key.incarnation().value())
                .putLong(key.mintedWallMillis())
                .putLong(random)
                .put((byte) service.length)
                .put(service)
                .put((byte) instance.length)
                .put(instance)
                .array();
    }

    private static MintedKey parse(ByteBuffer content) {
        Incarnation incarnation = new Incarnation(content.getLong());
        long wallMillis = content.getLong();
        content.getLong();
        ServiceName service = new ServiceName(readName(content));
        InstanceName instance = new InstanceName(readName(content));
        return new MintedKey(service, instance, incarnation, wallMillis);
    }

    private static String readName(ByteBuffer content) {
        byte[] name = new byte[Byte.toUnsignedInt(content.get())];
        content.get(name);
        return new String(name, StandardCharsets.UTF_8);
    }

    private static byte[] nameBytes(String name) {
        byte[] bytes = name.getBytes(StandardCharsets.UTF_8);
        if (bytes.length > MAXIMUM_NAME_BYTES) {
            throw new IllegalArgumentException(
                    "a name in a minted key must not exceed " + MAXIMUM_NAME_BYTES + " bytes");
        }
        return bytes;
    }

    private static byte[] proof(byte[] content, CallerName caller, SharedKey key) {
        byte[] callerBytes = caller.value().getBytes(StandardCharsets.UTF_8);
        byte[] message = ByteBuffer.allocate(PROOF_PURPOSE.length + Integer.BYTES + content.length + callerBytes.length)
                .put(PROOF_PURPOSE)
                .putInt(content.length)
                .put(content)
                .put(callerBytes)
                .array();
        return new HmacUtils(HmacAlgorithms.HMAC_SHA_256, key.secret()).hmac(message);
    }

    private static String encode(byte[] bytes) {
        return Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
    }

    private static byte[] decode(String text) {
        return Base64.getUrlDecoder().decode(text);
    }

    private static Failure malformedFailure() {
        return Failure.of(ResultCode.KEY_MALFORMED, "the minted key does not have the form mk1.CONTENT.PROOF");
    }
}
