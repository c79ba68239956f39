package org.merlinwood.protocol;

/**
 * A secret shared by the processes of a fleet. {@link #toString()} omits the secret. Immutable.
 *
 * @param identifier number of the key, unique among the valid keys
 * @param secretHexadecimal the secret in hexadecimal digits
 */
public record AuthenticationKey(int identifier, String secretHexadecimal) {

    @Override
    public String toString() {
        return "AuthenticationKey[" + identifier + "]";
    }
}
