/** Opens direct exchanges, whose connections are evidence of whether this box reaches targets. */
import type {
  Exchange,
  ExchangeListener,
  ExchangeRequest,
  OpenExchange,
} from "@linkfall/raw-exchange";
import type { TargetReach } from "@linkfall/target-reach";

export interface DirectPath {
  /**
   * Opens an exchange with the target. If its connection is not established because this box is cut off, `onCutOff` is called
   * instead of the listener; the request has then not been sent.
   */
  open(
    target: string,
    request: ExchangeRequest,
    listener: ExchangeListener,
    onCutOff: () => void,
  ): Exchange;
}

/** The part of the judgement that exchanges need. */
export type ExchangeReach = Pick<
  TargetReach,
  "recordConnected" | "recordConnectFailure" | "isCutOff" | "whenSettled" | "onChange"
>;

/** Creates a direct path. Connections that are not established when the box is found to be cut off are given up at once. */
export function createDirectPath(reach: ExchangeReach, openExchange: OpenExchange): DirectPath {
  const connecting = new Set<() => void>();
  reach.onChange((isCutOff) => {
    if (!isCutOff) return;
    for (const giveUp of [...connecting]) giveUp();
  });

  return {
    open(target, request, listener, onCutOff) {
      let aborted = false;
      let connected = false;
      const giveUp = () => {
        connecting.delete(giveUp);
        if (aborted || connected) return;
        aborted = true;
        exchange.abort();
        onCutOff();
      };
      const beforeWrite = async () => {
        connected = true;
        connecting.delete(giveUp);
        reach.recordConnected(target);
        await request.beforeWrite?.();
      };
      const handleFailure: ExchangeListener["onFailure"] = (failure) => {
        if (connected) return listener.onFailure(failure);
        reach.recordConnectFailure(target, failure.reason);
        void reach.whenSettled().then(() => {
          if (aborted) return;
          if (reach.isCutOff()) return giveUp();
          connecting.delete(giveUp);
          listener.onFailure(failure);
        });
      };
      connecting.add(giveUp);
      const exchange = openExchange(
        { ...request, beforeWrite },
        {
          onHead: (head) => listener.onHead(head),
          onBytes: (bytes) => listener.onBytes(bytes),
          onComplete: (excess) => listener.onComplete(excess),
          onFailure: handleFailure,
        },
      );
      return {
        ...exchange,
        abort() {
          aborted = true;
          connecting.delete(giveUp);
          exchange.abort();
        },
      };
    },
  };
}
