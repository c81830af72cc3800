/**
 * Identifiers, messages and codecs of all external interfaces: users, workers, cloud, store and
 * other controllers. The field names on the wire differ from the terms of the code; the codecs
 * translate them ({@code WireNames}).
 */
package org.mulleinshift.protocol;
