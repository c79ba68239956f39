/** Stand-in for a model engine, and the responses that it is expected to give. */
package org.merlinwood.standin.engine;
