// A program that a case starts, and the files that it writes.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace mangohold::review {

// A child process. What it prints goes to the end of a file; destruction kills
// it.
class ChildProcess {
 public:
  ChildProcess(const std::vector<std::string>& command, const std::string& log);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  void Signal(int signal) const;
  // SIGKILL, and waits for the end.
  void Kill();
  // The process has ended.
  bool HasEnded();
  // Of a process that has ended: the signal that ended it; 0: none.
  int signal_of_end() const { return signal_of_end_; }
  pid_t pid() const { return pid_; }

 private:
  pid_t pid_ = -1;
  bool has_ended_ = false;
  int signal_of_end_ = 0;
};

// A folder of its own under /tmp, which is removed at the end.
class TemporaryFolder {
 public:
  TemporaryFolder();
  ~TemporaryFolder();
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  std::string Path(const std::string& name) const { return path_ + "/" + name; }
  // Writes a file and returns its path.
  std::string Write(const std::string& name, const std::string& text) const;

 private:
  std::string path_;
};

// The begin of loopback addresses that no other run uses, as "127.1.2.".
std::string OwnLoopbackNet();

}  // namespace mangohold::review
