/** Soak: entries as processes, under faults that follow from a seed, checked from what callers and instances see. */
package org.merlinwood.proving.soak;
