/**
 * The wire formats: users, workers, cloud, store and peers. Field names of the wire appear here and
 * nowhere else.
 */
package org.mulleinshift.protocol;
