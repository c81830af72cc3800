package org.mulleinshift.progress;

import java.util.List;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.StoreCodec.Write;
import org.mulleinshift.store.TransactionBatcher;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Deletes a key that is no longer read.
 *
 * @param onDeleted called once the deletion is stored
 */
record DeleteKeyMutation(String key, Runnable onDeleted) implements TransactionBatcher.Mutation {
  private static final Logger LOG = LoggerFactory.getLogger(DeleteKeyMutation.class);

  @Override
  public List<Write> writes() {
    return List.of(Write.delete(key));
  }

  @Override
  public void onCommitted(Revision revision) {
    LOG.debug("key deleted, key={}", key);
    onDeleted.run();
  }
}
