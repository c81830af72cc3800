package org.mulleinshift.autoscaling;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.mulleinshift.leader.Leader;
import org.mulleinshift.model.ProvisioningRequest;
import org.mulleinshift.protocol.CloudCodec;
import org.mulleinshift.protocol.MachineId;
import org.mulleinshift.protocol.MalformedMessageException;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.StoreCodec.Item;
import org.mulleinshift.protocol.StoreCodec.Write;
import org.mulleinshift.store.StoreKeys;
import org.mulleinshift.store.TransactionBatcher;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.HttpRequest;
import org.mulleinshift.transport.HttpResponse;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Asks the cloud for machines. A rental's name is stored before it is used and never used again;
 * the key goes only after the machines are stored.
 */
public final class Provisioner {
  private static final Logger LOG = LoggerFactory.getLogger(Provisioner.class);
  private static final Duration DEADLINE = Duration.ofSeconds(5);
  private static final Duration RETRY = Duration.ofSeconds(1);

  /** Hears what came of rentals. */
  interface Listener {
    void rented(ProvisioningRequest rental, List<MachineId> machines);

    /** Some, but not all, or none of the machines are to be had. */
    void refused(ProvisioningRequest rental, boolean some);
  }

  private final Leader leader;
  private final Leader.Surroundings around;
  private final EventLoop loop;
  private final Autoscaler.Cloud cloud;
  private final Revision term;
  private final Listener listener;
  private final Map<String, ProvisioningRequest> rentals = new LinkedHashMap<>();
  private long names;

  Provisioner(
      Leader leader,
      Leader.Surroundings around,
      Autoscaler.Cloud cloud,
      Revision term,
      Listener listener) {
    this.leader = leader;
    this.around = around;
    this.loop = around.loop();
    this.cloud = cloud;
    this.term = term;
    this.listener = listener;
  }

  void start() {
    rentals.values().forEach(this::ask);
  }

  /** Rentals whose machines may still be counted on. */
  List<ProvisioningRequest> expected() {
    return rentals.values().stream()
        .filter(rental -> rental.state() != ProvisioningRequest.State.ANSWERED)
        .filter(rental -> loop.now().secondsSince(rental.plannedAt()) <= DEADLINE.toSeconds() * 2)
        .toList();
  }

  /** Machines of an offer that were planned or asked for and not answered. */
  int unanswered(OfferSelector.Offer offer) {
    int count = 0;
    for (ProvisioningRequest rental : rentals.values()) {
      boolean open = rental.state() != ProvisioningRequest.State.ANSWERED;
      count += open && OfferSelector.Offer.of(rental).equals(offer) ? rental.count() : 0;
    }
    return count;
  }

  /** A new leader asks again under the stored names: the same name never rents twice. */
  public void load(List<Item> items, TransactionBatcher journal) {
    for (Item item : items) {
      String name = item.key().substring(StoreKeys.RENTALS.length());
      try {
        rentals.put(name, ProvisioningRequest.read(name, item.value(), loop.now()));
        journal.known(item.key(), item.version());
      } catch (MalformedMessageException e) {
        // Not ours to ask again or to end. Its machines, if any come, are adopted as unexpected.
        LOG.warn("{}: this build can't read it: {}", item.key(), e.getMessage());
      }
    }
  }

  void rent(OfferSelector.Offer offer, int count) {
    for (int left = count; left > 0; left -= CloudCodec.MOST_RENTED) {
      rentAtOnce(offer, Math.min(left, CloudCodec.MOST_RENTED));
    }
  }

  private void rentAtOnce(OfferSelector.Offer offer, int count) {
    String name = "r-" + term + "-" + ++names;
    ProvisioningRequest rental =
        new ProvisioningRequest(
            name,
            offer.type(),
            offer.zone(),
            offer.spot(),
            count,
            loop.now(),
            ProvisioningRequest.State.PLANNED);
    rentals.put(name, rental);
    leader.journal().submit(StoreKeys.rental(name), new RentalUnit(rental));
  }

  private void ask(ProvisioningRequest rental) {
    if (!leader.leading() || rental.state() != ProvisioningRequest.State.ASKED) {
      return;
    }
    if (!around.certain().getAsBoolean() || !cloud.budget().take(1, 0)) {
      loop.after(RETRY, () -> ask(rental));
      return;
    }
    cloud
        .calls()
        .call(
            cloud.address(),
            HttpRequest.post(
                CloudCodec.RENTALS,
                CloudCodec.rent(
                    rental.name(), rental.type(), rental.zone(), rental.spot(), rental.count()),
                DEADLINE),
            reply -> answered(rental, reply));
  }

  private void answered(ProvisioningRequest rental, HttpResponse reply) {
    if (!leader.leading()) {
      return;
    }
    if (reply.ok()) {
      try {
        rented(rental, CloudCodec.parseRented(reply.body()));
        return;
      } catch (MalformedMessageException e) {
        LOG.warn("answer to rental {}: {}", rental.name(), e.getMessage());
      }
    }
    if (reply.status() == 400 || (reply.status() == 503 && reply.body().contains("no capacity"))) {
      LOG.info("rental {} of {} in {} refused", rental.name(), rental.type(), rental.zone());
      listener.refused(rental, false);
      end(rental);
      return;
    }
    // No clear answer: the cloud may have rented. The same name asks again.
    loop.after(RETRY, () -> ask(rental));
  }

  private void rented(ProvisioningRequest rental, List<MachineId> machines) {
    LOG.info(
        "rental {}: {} of {} {} in {}",
        rental.name(),
        machines.size(),
        rental.count(),
        rental.type(),
        rental.zone());
    if (machines.size() < rental.count()) {
      listener.refused(rental, !machines.isEmpty());
    }
    listener.rented(rental, machines);
    end(rental);
  }

  /** The rental's key goes only after its machines are stored. */
  private void end(ProvisioningRequest rental) {
    rental.moveTo(ProvisioningRequest.State.ANSWERED);
    leader
        .journal()
        .submit(
            StoreKeys.rental(rental.name()),
            new TransactionBatcher.Unit() {
              @Override
              public List<Write> writes() {
                return List.of(Write.delete(StoreKeys.rental(rental.name())));
              }

              @Override
              public void committed(Revision revision) {
                rentals.remove(rental.name());
              }
            });
  }

  /** A rental's name, stored before the cloud hears it. */
  private final class RentalUnit implements TransactionBatcher.Unit {
    private final ProvisioningRequest rental;

    RentalUnit(ProvisioningRequest rental) {
      this.rental = rental;
    }

    @Override
    public List<Write> writes() {
      return rental.state() == ProvisioningRequest.State.PLANNED
          ? List.of(Write.put(StoreKeys.rental(rental.name()), rental.write()))
          : List.of();
    }

    @Override
    public void committed(Revision revision) {
      rental.moveTo(ProvisioningRequest.State.ASKED);
      ask(rental);
    }
  }
}
