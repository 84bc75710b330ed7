/** Runs the relay of an entry and prints the address on which it listens. Argument: the IP:PORT of the only upstream. */
import { DirectConnector } from '@hickoryspoke/request/connector'
import { SystemClock, sleep } from '@hickoryspoke/runtime/clock'
import { silentLogger } from '@hickoryspoke/telemetry/logger'
import { ConnectionRelay } from '../connection-relay.ts'
import { freeAddress } from './relay-fixture.ts'

const CONNECT_TIMEOUT_MILLISECONDS = 5_000
const POLL_MILLISECONDS = 5

const clock = SystemClock.create()
const relay = ConnectionRelay.create({
  clock,
  logger: silentLogger(),
  connector: DirectConnector.create(clock, CONNECT_TIMEOUT_MILLISECONDS),
  isUpstream: (address) => address === process.argv[2],
  isUnwanted: () => false,
  isReaching: () => true
})
const address = await freeAddress()
relay.listen(address)
while (!relay.isAvailable) await sleep(clock, POLL_MILLISECONDS)
console.log(address)
