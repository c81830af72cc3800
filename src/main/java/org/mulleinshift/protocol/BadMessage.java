package org.mulleinshift.protocol;

/** A message that does not follow the protocol; the text says why in a few words. */
public final class BadMessage extends Exception {
  private static final long serialVersionUID = 1L;

  public BadMessage(String message) {
    super(message, null, false, false);
  }
}
