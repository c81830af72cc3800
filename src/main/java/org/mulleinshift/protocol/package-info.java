/**
 * The wire formats: users, workers, cloud, store and peers. The wire has field names of its own
 * ({@code WireNames}); the codecs map them to the field's terms.
 */
package org.mulleinshift.protocol;
