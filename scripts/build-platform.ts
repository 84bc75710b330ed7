/** Bundles the platform's programs under `target/`, for the commands of the deploy file. */
import { bundlePrograms } from './bundle.ts'
import { readPlatformPrograms } from './platform-programs.ts'

const FOLDER = 'target'

await bundlePrograms(FOLDER, await readPlatformPrograms())
