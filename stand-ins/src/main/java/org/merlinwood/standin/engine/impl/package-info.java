/** Implementation of the model engine: memory, batch, prefill queue, prefix cache, link, models and ledger. */
package org.merlinwood.standin.engine.impl;
