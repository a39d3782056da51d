package dev.cactusstack.host.control;

import dev.cactusstack.link.LinkBody;
import dev.cactusstack.link.LinkMessage;
import dev.cactusstack.model.Address;
import java.util.Objects;

/** The controllers of a host, connected to each other and to the control loop. Thread-safe. */
public final class Controllers {
  private final ControlLoop loop;
  private final MembershipController members;
  private final ConfigurationController configuration;
  private final UpstreamsController upstreams;

  /**
   * Connects controllers.
   *
   * @param loop runs and ticks them
   * @param members the group
   * @param configuration the configuration in force
   * @param upstreams the routes and their upstreams
   * @param rates the arrival rates
   */
  public Controllers(
      ControlLoop loop,
      MembershipController members,
      ConfigurationController configuration,
      UpstreamsController upstreams,
      ArrivalRateController rates) {
    this.loop = Objects.requireNonNull(loop, "loop is null");
    this.members = Objects.requireNonNull(members, "members is null");
    this.configuration = Objects.requireNonNull(configuration, "configuration is null");
    this.upstreams = Objects.requireNonNull(upstreams, "upstreams is null");
    members.addListener(upstreams::onMembersChange);
    configuration.addListener(upstreams::onTableChange);
    loop.addTickTask(members::tick);
    loop.addTickTask(configuration::tick);
    loop.addTickTask(upstreams::tick);
    loop.addTickTask(rates::tick);
  }

  /**
   * Returns the group.
   *
   * @return the controller
   */
  public MembershipController members() {
    return members;
  }

  /**
   * Returns the configuration in force.
   *
   * @return the controller
   */
  public ConfigurationController configuration() {
    return configuration;
  }

  /**
   * Returns the routes and their upstreams.
   *
   * @return the controller
   */
  public UpstreamsController upstreams() {
    return upstreams;
  }

  /** Tells the group that this host is shutting down. */
  public void announceLeaving() {
    loop.execute(members::announceLeaving);
  }

  /**
   * Handles a message of another host. Drops it when the loop is far behind.
   *
   * @param from the sender's address
   * @param m the message
   */
  public void receive(Address from, LinkMessage m) {
    loop.tryExecute(() -> dispatch(from, m));
  }

  private void dispatch(Address from, LinkMessage m) {
    if (m.body() instanceof LinkBody.FailureDetection d) {
      members.receive(from, d.message(), m);
    } else if (m.body() instanceof LinkBody.ChangesQuery q) {
      configuration.sendPage(from, q);
    } else if (m.body() instanceof LinkBody.ChangesPage p) {
      configuration.receivePage(from, p);
    }
  }
}
