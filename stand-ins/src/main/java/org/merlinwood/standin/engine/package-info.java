/** Stand-in of a model engine, and the answers to be expected from it. */
package org.merlinwood.standin.engine;
