/** Makes the word that this box tells another. */
import type { BoxWord, HolderWord, TakenWord } from "@linkfall/box-peers";
import { desiredFeedName } from "@linkfall/desired-feed";
import { fleetName } from "@linkfall/fleet";
import { orderLeaseName } from "@linkfall/order-lease";
import { orderGiverName } from "@linkfall/weight-orders";
import type { BoxParts } from "./box-parts.js";
import { createEngineVersions, ownLoads, recentDemand } from "./box-word.js";

/** A word for one reader, or for nobody in particular. */
export type WordMaker = (reader?: BoxWord) => BoxWord;

/** Creates the maker; it finds its services when the first word is made. */
export function createWordMaker(
  { kernel, settings, incarnation, stop, demand }: BoxParts,
  taken: () => TakenWord | undefined,
): WordMaker {
  const { box } = settings;
  const versions = createEngineVersions(kernel.find(fleetName));
  let beat = 0;

  const holderWord = (reader?: BoxWord): HolderWord => {
    const giver = kernel.find(orderGiverName);
    const known = reader?.taken?.holder === incarnation ? reader.taken.version : 0;
    return {
      ...versions.changesAfter(known),
      withheld: Object.fromEntries(giver.withheld()),
      expected: giver.expected(),
    };
  };

  return (reader) => {
    const feed = kernel.find(desiredFeedName);
    const lease = kernel.find(orderLeaseName);
    const known = lease.known();
    // Demand is most of a word, and of use only to the box that may give orders.
    const readerOrders = reader !== undefined && reader.incarnation === known?.holder;
    beat += 1;
    return {
      box: box.name,
      incarnation,
      beat,
      frontAddress: box.front_address,
      peerAddress: box.peer_address,
      domain: box.domain,
      ready: feed.ready() && !stop.begun(),
      leaving: stop.begun(),
      reachesStore: feed.reachesStore(),
      configurationVersion: feed.inForce()?.configuration.version ?? -1,
      targetsEnd: feed.targetsEnd(),
      loads: ownLoads(kernel.find(fleetName)),
      demand: readerOrders ? recentDemand(demand.read()) : [],
      lease: known,
      ordersForMs: lease.ordersForMs(),
      taken: taken(),
      holder: lease.epoch() === undefined ? undefined : holderWord(reader),
    };
  };
}
