/**
 * Idempotency keys in the sidecar: claiming keys, replaying stored responses and handing key tables over to other
 * sidecars.
 */
package org.merlinwood.sidecar.key;
