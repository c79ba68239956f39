/** Idempotency keys in the sidecar: claims, answers given again, handover of tables. Used by the control thread. */
package org.merlinwood.sidecar.key;
