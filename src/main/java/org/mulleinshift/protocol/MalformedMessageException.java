package org.mulleinshift.protocol;

/** A message does not follow the protocol; the text says why in a few words. */
public final class MalformedMessageException extends Exception {
  private static final long serialVersionUID = 1L;

  /** An error without a stack trace: its cause is in the message, not in this program. */
  public MalformedMessageException(String message) {
    super(message, null, false, false);
  }
}
