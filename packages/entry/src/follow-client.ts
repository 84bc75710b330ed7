import type { InnerCredentials } from '@hickoryspoke/protocol/inner-credentials'
import { DistributionClient } from '@hickoryspoke/protocol/generated/distribution'
import type { ControlAddress, FollowStream } from './control-stream.ts'

/** Largest update that an entry takes, in bytes; a whole file of 50,000 customers has about 11 million. */
export const MAXIMUM_UPDATE_BYTES = 64 * 1024 * 1024

const KEEPALIVE_MILLISECONDS = 5_000

/** Opens streams to control VMs; each stream has a connection of its own, which ends with it. */
export function createFollowClient (credentials: InnerCredentials): (control: ControlAddress) => FollowStream {
  return (control) => {
    const client = new DistributionClient(control.address, credentials.forChannel(), {
      ...credentials.channelOptions(control.name),
      'grpc.max_receive_message_length': MAXIMUM_UPDATE_BYTES,
      'grpc.keepalive_time_ms': KEEPALIVE_MILLISECONDS,
      'grpc.use_local_subchannel_pool': 1
    })
    const call = client.follow()
    call.on('close', () => client.close())
    call.on('error', () => client.close())
    return call
  }
}
