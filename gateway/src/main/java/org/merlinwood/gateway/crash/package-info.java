/**
 * Which requests, and which parts of prompts, crash the instances that run them: evidence from lost connections, here
 * and at other entries, and what is blocked because of it. No I/O; time comes from an injected clock.
 */
package org.merlinwood.gateway.crash;
