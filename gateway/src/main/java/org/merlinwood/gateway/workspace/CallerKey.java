package org.merlinwood.gateway.workspace;

/**
 * A key as a caller sent it. Immutable. Its text form does not contain the key.
 *
 * @param text the key, not empty
 */
public record CallerKey(String text) {

    @Override
    public String toString() {
        return "CallerKey[hidden]";
    }
}
