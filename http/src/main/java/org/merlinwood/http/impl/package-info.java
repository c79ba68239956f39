/** Implementation of the HTTP client. */
package org.merlinwood.http.impl;
