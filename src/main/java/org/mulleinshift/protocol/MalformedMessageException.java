package org.mulleinshift.protocol;

/** A message that does not follow the protocol; the text says why in a few words. */
public final class MalformedMessageException extends Exception {
  private static final long serialVersionUID = 1L;

  public MalformedMessageException(String message) {
    super(message, null, false, false);
  }
}
