/** Numbered result codes and the failure type that carries them. */
package org.merlinwood.core.result;
