package org.merlinwood.entry.filter;

import org.merlinwood.core.identity.ModelName;
import org.merlinwood.entry.request.Delivery;
import org.merlinwood.entry.request.SamplingParameters;

/**
 * Parsed and validated body of a completion request. Immutable.
 *
 * @param model the model
 * @param prompt text of the prompt
 * @param sampling sampling parameters
 * @param delivery whether the response is streamed
 */
record PromptRequest(ModelName model, String prompt, SamplingParameters sampling, Delivery delivery) {}
