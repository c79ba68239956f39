package org.merlinwood.entry.filter;

import org.merlinwood.core.identity.ModelName;
import org.merlinwood.entry.request.Delivery;
import org.merlinwood.entry.request.SamplingParameters;

/**
 * The body of a request for a completion, read and checked. Immutable.
 *
 * @param model the model
 * @param prompt text of the prompt
 * @param sampling how the answer is generated
 * @param delivery whole or streamed
 */
record PromptRequest(ModelName model, String prompt, SamplingParameters sampling, Delivery delivery) {}
