/** The event loop, HTTP, peer connections and rate limits. Only this package starts threads. */
package org.mulleinshift.transport;
