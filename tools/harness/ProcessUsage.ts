/** Processor time, memory and written bytes of a process, as Linux reports them in /proc. */
import { readFileSync } from 'node:fs';

/** Unit of the processor times in /proc; Linux uses this value on all common machines. */
const CLOCK_TICKS_PER_SECOND = 100;

/** User and system time of a process in milliseconds. */
export function readCpuMs(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  // utime and stime are fields 14 and 15 of the file, of which the first two were removed above.
  const ticks = Number(fields[11]) + Number(fields[12]);
  return (ticks * 1_000) / CLOCK_TICKS_PER_SECOND;
}

/** Peak resident memory so far, in units of 1,024 kB. */
export function readPeakMemoryMb(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  return Number(/VmHWM:\s+(\d+) kB/.exec(status)?.[1] ?? 0) / 1_024;
}

/** Current resident memory, in units of 1,024 kB. */
export function readResidentMemoryMb(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  return Number(/VmRSS:\s+(\d+) kB/.exec(status)?.[1] ?? 0) / 1_024;
}

/** Bytes that the process has passed to write calls, for sockets, logs and files. */
export function readWrittenBytes(pid: number): number {
  const io = readFileSync(`/proc/${pid}/io`, 'utf8');
  return Number(/wchar: (\d+)/.exec(io)?.[1] ?? 0);
}
