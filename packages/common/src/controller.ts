/** A part of a process that reads and writes the blackboard and owns its own timers. */
export abstract class Controller {
  /** Subscribes to what the controller needs. */
  abstract start(): void;
  /** Ends all subscriptions; the controller does nothing afterwards. */
  abstract stop(): void;
}
