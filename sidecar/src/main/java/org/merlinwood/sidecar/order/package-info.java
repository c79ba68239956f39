/** Orders to the engine beside this process. Used by the control thread. */
package org.merlinwood.sidecar.order;
