/** Implementation classes of {@link org.merlinwood.decision.grant.GrantManager}. */
package org.merlinwood.decision.grant.impl;
