/** The platform's settings file and the operators' own tunables, checked and typed. */
package org.mulleinshift.settings;
