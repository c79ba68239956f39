package org.merlinwood.entry.request;

/** JSON format of the response of a model. */
public enum ResponseFormat {
    /** Format of {@code /v1/completions}: a text. */
    COMPLETION,
    /** Format of {@code /v1/chat/completions}: a message of the assistant. */
    CHAT_COMPLETION
}
