/** Numbered result codes and the typed failure that carries them. */
package org.merlinwood.core.result;
