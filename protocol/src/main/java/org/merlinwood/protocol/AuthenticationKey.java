package org.merlinwood.protocol;

/**
 * A secret shared by the processes of a fleet. Never printed.
 *
 * @param identifier tells valid keys apart
 * @param secretHexadecimal the secret as hexadecimal digits
 */
public record AuthenticationKey(int identifier, String secretHexadecimal) {

    @Override
    public String toString() {
        return "AuthenticationKey[" + identifier + "]";
    }
}
