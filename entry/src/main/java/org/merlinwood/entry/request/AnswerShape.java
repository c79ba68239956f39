package org.merlinwood.entry.request;

/** Shape of the JSON of a model's answer. */
public enum AnswerShape {
    /** As {@code /v1/completions} answers: the text itself. */
    COMPLETION,
    /** As {@code /v1/chat/completions} answers: a message of the assistant. */
    CHAT_COMPLETION
}
